// Entry point of the executable: sets V8 flags before it loads the program, so that they apply to all of its code.
import { AGENT_FLAGS, applyHeapFlags, HEAP_FLAGS } from "@tanagerdeck/runtime/memory/heapFlags";

const isAgent = process.argv[2]?.endsWith("agent") ?? false;
applyHeapFlags(isAgent ? [...HEAP_FLAGS, ...AGENT_FLAGS] : HEAP_FLAGS);
void import("./main.ts");
