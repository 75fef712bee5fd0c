/** Uses admission control as a library, without a node. */
import { readFileSync } from "node:fs";
import { createAdmission, parseTableCsv, reduceAdmission } from "../src/mod.ts";

const text = readFileSync("examples/toy-trust/table.csv", "utf8");
const { row } = parseTableCsv(text)._unsafeUnwrap()[0]!;
const deadlineMs = Date.now() + row.timeoutMs;
const root = { importance: row.importance, admissionHash: 7, depth: 0 };
const request = { attemptId: "a1", row, deadlineMs, ...root };
const event = { type: "RequestArrived", request } as const;
const { effects } = reduceAdmission(createAdmission(50), event, Date.now());
console.log(effects); // [ { type: "RunRequest", attemptId: "a1" } ]
