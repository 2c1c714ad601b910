import { bundle } from "@tanagerdeck/standins/processes/programBundle";

/** Builds the program that deploy/system.toml starts. */
await bundle({
    entryPoints: { tanagerdeck: "packages/tanagerdeck/src/start.ts" },
    outdir: "target",
});
