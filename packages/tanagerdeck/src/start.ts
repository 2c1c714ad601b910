import { AGENT_FLAGS, applyHeapFlags, HEAP_FLAGS } from "@tanagerdeck/runtime/memory/heapFlags";

const isAgent = process.argv[2]?.endsWith("agent") ?? false;
applyHeapFlags(isAgent ? [...HEAP_FLAGS, ...AGENT_FLAGS] : HEAP_FLAGS);
void import("./main.ts");
