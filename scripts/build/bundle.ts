import { bundlePrograms } from "@tanagerdeck/standins/processes/programBundle";

await bundlePrograms("dist");
