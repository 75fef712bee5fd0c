/** Turns roarr on: it reads this variable once, when it is first imported. */
import process from "node:process";

process.env["ROARR_LOG"] ??= "true";
