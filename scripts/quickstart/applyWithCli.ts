import { execFile } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { promisify } from "node:util";
import { programPath } from "@tanagerdeck/standins/processes/programBundle";
import type { Environment } from "./environment.ts";

const COMMAND_TIMEOUT_MS = 20_000;

/** Applies the firm's document with `tanagerdeck apply`. Resolves with the output; rejects if the command fails. */
export async function applyWithCli(
    folder: string,
    programs: string,
    { firm, settings, entries }: Environment,
): Promise<string> {
    const path = join(folder, `${firm.environment}-document.json`);
    writeFileSync(path, JSON.stringify(firm.document));
    const target = ["--entry", entries[0]!.addresses.operatorAddress!, "--expected-revision", "0"];
    const { stdout } = await promisify(execFile)(
        process.execPath,
        [programPath(programs, "tanagerdeck"), "apply", path, ...target],
        {
            env: { ...process.env, TANAGERDECK_OPERATOR_TOKEN: settings.operatorToken },
            timeout: COMMAND_TIMEOUT_MS,
        },
    );
    return stdout.trim();
}
