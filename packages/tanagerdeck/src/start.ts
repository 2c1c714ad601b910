// Entry point of the executable: sets V8 flags before it loads the program, so that they apply to all of its code, and
// handles signals, so that none of them ends a process that is still starting.
import { AGENT_FLAGS, applyHeapFlags, HEAP_FLAGS } from "@tanagerdeck/runtime/memory/heapFlags";
import { handleSignals } from "@tanagerdeck/runtime/process/processSignals";

/** Commands that run a long-lived process. */
const PROCESS_COMMANDS = new Set(["entry", "agent", "platform-entry", "platform-agent"]);

const command = process.argv[2] ?? "";
const signals = PROCESS_COMMANDS.has(command) ? handleSignals() : undefined;
applyHeapFlags(command.endsWith("agent") ? [...HEAP_FLAGS, ...AGENT_FLAGS] : HEAP_FLAGS);
void import("./main.ts").then(({ run }) => run(signals));
