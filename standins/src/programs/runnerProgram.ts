import { echoBehaviour, startRunnerStandin, type RunnerBehaviour } from "../runner/runnerStandin.ts";
import { startControlListener } from "./controlListener.ts";
import { readStandinSettings, announceReady } from "./standinProgram.ts";

/** How the runner answers: as the body asks, with status 500 always, or with `not-started` always. */
type RunnerMode = "normal" | "fail" | "not-started";

/** Runs the runner stand-in as a program that tests control over HTTP. */
async function run(): Promise<void> {
    const settings = readStandinSettings();
    let mode: RunnerMode = "normal";
    const behaviours: Record<RunnerMode, RunnerBehaviour> = {
        normal: echoBehaviour,
        fail: async () => ({ status: 500, body: "failed" }),
        "not-started": async () => ({ status: 503, body: "not-started" }),
    };
    const runner = await startRunnerStandin(settings.address, (kind, body) => behaviours[mode](kind, body));
    const control = await startControlListener(settings.controlAddress, {
        "GET /executed": () => runner.executed,
        "POST /mode": body => {
            mode = (body as { mode: RunnerMode }).mode;
        },
    });
    announceReady({ address: runner.listener.address, controlAddress: control.address });
}

void run();
