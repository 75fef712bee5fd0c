/** Enables roarr, which reads this variable once, on its first import. */
import process from "node:process";

process.env["ROARR_LOG"] ??= "true";
