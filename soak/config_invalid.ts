/** Invalid configurations of every kind that operators may send. */
import type { Random } from "../src/base/test/seeded_random.ts";
import {
  createResources,
  formatDocument,
  formatVersion,
  pick,
} from "./config_document.ts";
import type { SoakDocument } from "./config_document.ts";

/** The text of an invalid configuration, and what is wrong with it. */
export interface InvalidText {
  readonly kind: string;
  readonly text: string;
}

type Resources = ReturnType<typeof createResources>;
type Spec = Record<string, unknown>;

const UNKNOWN_SERVICE = "nobody";
const TOO_LONG_MS = 600_001;
const TARGET = { service: "red", weight: 1 };

/** Changes of the properties of one route that make it invalid. */
const INVALID_SPECS: Readonly<Record<string, Spec>> = {
  "unknown service": { service: UNKNOWN_SERVICE, trafficSplit: undefined },
  "unknown service in a split": {
    service: undefined,
    trafficSplit: [TARGET, { service: UNKNOWN_SERVICE, weight: 1 }],
  },
  "unknown service in a part without weight": {
    service: undefined,
    trafficSplit: [TARGET, { service: UNKNOWN_SERVICE, weight: 0 }],
  },
  "unknown service beside a split": {
    service: UNKNOWN_SERVICE,
    trafficSplit: [TARGET],
  },
  "unknown service in a split beside a service": {
    service: "red",
    trafficSplit: [{ service: UNKNOWN_SERVICE, weight: 1 }],
  },
  "time limit of 0": { timeoutMs: 0 },
  "time limit over ten minutes": { timeoutMs: TOO_LONG_MS },
  "unknown type": { routeType: "sometimes" },
  "type in capitals": { routeType: "IDEMPOTENT" },
};

/** Changes of the text that make it unreadable, at least in part. */
const SPOIL_TEXT: Readonly<Record<string, (text: string) => string>> = {
  "cut text": (text) => text.slice(0, Math.floor(text.length * 0.7)),
  "text behind the end": (text) => `${text}}`,
  "no text": () => "",
  "resources of another type": (text) =>
    text.replace(/"resources":\[.*\]/, '"resources":7'),
  "time limit as a text": (text) =>
    text.replace(/"timeoutMs":(\d+)/, '"timeoutMs":"$1"'),
  "time limit named twice": (text) =>
    text.replace(/"timeoutMs":/, '"timeoutMs":0,"timeoutMs":'),
  "service named twice": (text) =>
    text.replace(/"service":/, `"service":"${UNKNOWN_SERVICE}","service":`),
  "version named twice": (text) =>
    text.replace('{"version":', '{"version":"00000000","version":'),
};

/** Draws an invalid variant of a valid configuration. */
export function drawInvalid(
  random: Random,
  document: SoakDocument,
): InvalidText {
  const kinds = [
    ...Object.keys(INVALID_SPECS),
    ...Object.keys(SPOIL_TEXT),
    "version of its base",
    "version below its base",
  ];
  const kind = pick(random, kinds);
  const spec = INVALID_SPECS[kind];
  if (spec !== undefined) {
    return { kind, text: formatWithSpec(random, document, spec) };
  }
  const spoil = SPOIL_TEXT[kind];
  if (spoil !== undefined) {
    return { kind, text: spoil(formatDocument(document)) };
  }
  const version = kind === "version of its base"
    ? document.base
    : Math.max(0, document.base - 1);
  const resources = createResources(document);
  return {
    kind,
    text: JSON.stringify({ ...resources, version: formatVersion(version) }),
  };
}

/** Formats a configuration in which properties of one route are replaced. */
function formatWithSpec(
  random: Random,
  document: SoakDocument,
  spec: Spec,
): string {
  const { version, resources }: Resources = createResources(document);
  const index = Math.floor(random() * document.routes.length);
  const changed = resources.map((resource, at) =>
    at === index
      ? { ...resource, spec: { ...resource.spec, ...spec } }
      : resource
  );
  return JSON.stringify({ version, resources: changed });
}
