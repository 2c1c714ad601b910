import { applyHeapFlags } from "@tanagerdeck/runtime/memory/heapFlags";

applyHeapFlags();
void import("./main.ts");
