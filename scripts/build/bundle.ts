import { bundlePrograms } from "@tanagerdeck/standins/processes/programBundle";

// Command `npm run bundle`: bundles all programs into `dist`.
await bundlePrograms("dist");
