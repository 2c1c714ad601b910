import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, rmSync, writeFileSync } from "node:fs";
import { bundle } from "@tanagerdeck/standins/processes/programBundle";

const BUNDLE = "dist/single/tanagerdeck.cjs";
const BLOB = "dist/single/tanagerdeck.blob";
const BLOB_SETTINGS = "dist/single/blob.json";
const EXECUTABLE = "dist/tanagerdeck";
/** Sentinel that Node 20 looks for in its executable; see "Single executable applications" in Node's documentation. */
const FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

// Builds the single executable: a copy of the running Node executable with the minified bundle injected.
await bundle({
    entryPoints: { tanagerdeck: "packages/tanagerdeck/src/start.ts" },
    outdir: "dist/single",
    minify: true,
});
const blobSettings = { main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true };
writeFileSync(BLOB_SETTINGS, JSON.stringify(blobSettings));
execFileSync(process.execPath, ["--experimental-sea-config", BLOB_SETTINGS], { stdio: "ignore" });
rmSync(EXECUTABLE, { force: true });
copyFileSync(process.execPath, EXECUTABLE);
chmodSync(EXECUTABLE, 0o755);
const postject = [
    "node_modules/postject/dist/cli.js",
    EXECUTABLE,
    "NODE_SEA_BLOB",
    BLOB,
    "--sentinel-fuse",
    FUSE,
];
execFileSync(process.execPath, postject, { stdio: "ignore" });
process.stdout.write(`${EXECUTABLE}\n`);
