import { readFileSync } from "node:fs";

/** Settings of a stand-in program. */
export interface StandinSettings {
    name: string;
    /** `ip:port` of the stand-in itself. */
    address: string;
    /** `ip:port` at which tests control the stand-in. */
    controlAddress: string;
}

/** Reads the settings file that the first argument names. */
export function readStandinSettings(): StandinSettings {
    const path = process.argv[2];
    if (path === undefined) {
        throw new Error("The first argument must be a settings file.");
    }
    return JSON.parse(readFileSync(path, "utf8")) as StandinSettings;
}

/** Prints the ready line with the bound addresses and installs a SIGTERM handler that exits. */
export function announceReady(addresses: Record<string, string>): void {
    process.once("SIGTERM", () => process.exit(0));
    process.stdout.write(`${JSON.stringify({ ready: true, addresses })}\n`);
}
