import { applyCommand } from "./applyCommand.ts";
import { cancelCommand } from "./cancelCommand.ts";
import { checkCommand } from "./checkCommand.ts";
import type { Command } from "./commandTypes.ts";
import { drainCommand } from "./drainCommand.ts";
import { historyCommand } from "./historyCommand.ts";
import { planCommand } from "./planCommand.ts";
import { promoteCommand } from "./promoteCommand.ts";
import { statusCommand } from "./statusCommand.ts";
import { submitCommand } from "./submitCommand.ts";
import { traceCommand } from "./traceCommand.ts";
import { usageCommand } from "./usageCommand.ts";

/** All commands of operators and callers, by name. */
export const commands: Record<string, Command> = {
    check: checkCommand,
    plan: planCommand,
    apply: applyCommand,
    promote: promoteCommand,
    history: historyCommand,
    status: statusCommand,
    usage: usageCommand,
    drain: drainCommand,
    submit: submitCommand,
    cancel: cancelCommand,
    trace: traceCommand,
};
