/** Free loopback ports below the range that the kernel hands out itself. */
import { createServer } from "node:net";

const FIRST_PORT = 10_000;
const PORT_COUNT = 22_000;

let next = Math.floor(Math.random() * PORT_COUNT);

/** Finds a port that nothing listens on. */
export async function findPort(): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + (next++ % PORT_COUNT);
    if (await isFree(port)) {
      return port;
    }
  }
}

/** Finds a loopback address that nothing listens on. */
export async function findAddress(): Promise<string> {
  return `127.0.0.1:${await findPort()}`;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
