import { bundle } from "@tanagerdeck/standins/processes/programBundle";

// Bundles the program that deploy/system.toml starts into `target`.
await bundle({
    entryPoints: { tanagerdeck: "packages/tanagerdeck/src/start.ts" },
    outdir: "target",
});
