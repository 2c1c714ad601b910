import { startPlatformStandin, type PlatformFaults } from "../platform/platformStandin.ts";
import { startControlListener } from "./controlListener.ts";
import { readStandinSettings, announceReady } from "./standinProgram.ts";

/** Runs the platform stand-in as a program that tests control over HTTP. */
async function run(): Promise<void> {
    const settings = readStandinSettings();
    const platform = await startPlatformStandin(settings.address);
    const control = await startControlListener(settings.controlAddress, {
        "GET /calls": () => Object.fromEntries(platform.calls),
        "GET /leases": () => platform.leases(),
        "POST /faults": body => Object.assign(platform.faults, body as Partial<PlatformFaults>),
        "POST /expire": body => platform.expireLease((body as { lease: string }).lease),
    });
    announceReady({ address: platform.listener.address, controlAddress: control.address });
}

void run();
