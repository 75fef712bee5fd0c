/** Finds names that occur more than once in one object of a JSON text. */

/** Names of fields and indices of arrays, from the outermost value on. */
export type JsonPath = readonly (string | number)[];

/** Marks an array among the open containers. */
const ARRAY = Symbol("array");

/**
 * Names so far in an open container: undefined for none, the name itself for
 * one, as most objects of a large text are small.
 */
type OpenNames = Set<string> | string | undefined | typeof ARRAY;

const QUOTE = '"'.charCodeAt(0);
const BACKSLASH = "\\".charCodeAt(0);
const COMMA = ",".charCodeAt(0);
const OPEN_OBJECT = "{".charCodeAt(0);
const CLOSE_OBJECT = "}".charCodeAt(0);
const OPEN_ARRAY = "[".charCodeAt(0);
const CLOSE_ARRAY = "]".charCodeAt(0);

/**
 * Returns the path of the first name that its object already has, with escapes
 * decoded; undefined without one. `JSON.parse` keeps the last value of such a
 * name and drops the others. `text` must be valid JSON. The time is linear in
 * the length of the text, at any depth of nesting.
 */
export function findRepeatedName(text: string): JsonPath | undefined {
  const containers = new OpenContainers();
  for (let at = 0; at < text.length; at += 1) {
    switch (text.charCodeAt(at)) {
      case OPEN_OBJECT:
        containers.openObject();
        break;
      case OPEN_ARRAY:
        containers.openArray();
        break;
      case CLOSE_OBJECT:
      case CLOSE_ARRAY:
        containers.close();
        break;
      case COMMA:
        containers.advance();
        break;
      case QUOTE: {
        const end = findStringEnd(text, at);
        if (
          containers.isNameNext &&
          !containers.addName(decodeString(text, at, end))
        ) {
          return containers.path;
        }
        at = end;
        break;
      }
    }
  }
  return undefined;
}

/** The containers around the current position, without recursion. */
class OpenContainers {
  readonly #names: OpenNames[] = [];
  readonly #path: (string | number)[] = [];
  #isNameNext = false;

  /** Whether the next string is the name of a field. */
  get isNameNext(): boolean {
    return this.#isNameNext;
  }

  /** Path of the current field or element. */
  get path(): JsonPath {
    return this.#path;
  }

  openObject(): void {
    this.#names.push(undefined);
    this.#path.push("");
    this.#isNameNext = true;
  }

  openArray(): void {
    this.#names.push(ARRAY);
    this.#path.push(0);
    this.#isNameNext = false;
  }

  close(): void {
    this.#names.pop();
    this.#path.pop();
    this.#isNameNext = false;
  }

  /** Goes on to the next field or element. */
  advance(): void {
    this.#isNameNext = this.#names.at(-1) !== ARRAY;
    if (!this.#isNameNext) {
      this.#path.push(Number(this.#path.pop()) + 1);
    }
  }

  /** Adds a name to the innermost object; returns whether it is a new one. */
  addName(name: string): boolean {
    this.#isNameNext = false;
    const last = this.#names.length - 1;
    this.#path[last] = name;
    const names = this.#names[last];
    if (names instanceof Set) {
      const { size } = names;
      return names.add(name).size > size;
    }
    this.#names[last] = typeof names === "string"
      ? new Set([names, name])
      : name;
    return names !== name;
  }
}

/** Returns the index of the quote that ends the string which begins at `at`. */
function findStringEnd(text: string, at: number): number {
  let end = text.indexOf('"', at + 1);
  while (end >= 0 && isEscaped(text, end)) {
    end = text.indexOf('"', end + 1);
  }
  return end < 0 ? text.length : end;
}

/** Whether an odd number of backslashes precedes the character at `at`. */
function isEscaped(text: string, at: number): boolean {
  let start = at;
  while (text.charCodeAt(start - 1) === BACKSLASH) {
    start -= 1;
  }
  return (at - start) % 2 === 1;
}

/** Decodes the string between two quotes. */
function decodeString(text: string, open: number, close: number): string {
  const content = text.slice(open + 1, close);
  return content.includes("\\")
    ? JSON.parse(text.slice(open, close + 1)) as string
    : content;
}
