/**
 * Command `npm run soak`: runs the system under random faults, one seed after the other, and prints one JSON line for
 * each seed. The exit status is 1 if a guarantee was broken.
 */
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { cac } from "cac";
import { bundlePrograms } from "@tanagerdeck/standins/processes/programBundle";
import { runConnectionSoak } from "./soakConnections.ts";
import { runSoak, type SoakResult } from "./soakRun.ts";
import { FAILED_SEEDS, type FailedSeed } from "./soakSeeds.ts";
import { WORKLOADS, type WorkloadName } from "./soakWorkloads.ts";

const cli = cac("soak");

cli.command(
    "",
    "Run the system's programs under random faults and check the guarantees to callers and workers",
)
    .option("--seed <seed>", "First seed of the range", { default: 1 })
    .option("--seeds <count>", "Number of consecutive seeds to run", { default: 1 })
    .option("--seconds <seconds>", "Duration of the fault phase of each seed", { default: 30 })
    .option("--entries <count>", "Number of entries", { default: 3 })
    .option("--workload <name>", `Deployment and jobs: ${Object.keys(WORKLOADS).join(" or ")}`, {
        default: "plain",
    })
    .option("--workers <count>", "Number of workers, each with an agent, if the workload does not set it", {
        default: 6,
    })
    .option("--planned", "Only planned work, under callers that keep their connections open")
    .option("--programs <folder>", "Folder of the bundles to run, such as those of another commit")
    .option("--failed", "Run the seeds that failed before instead of the range")
    .option("--logs <folder>", "Folder for the logs of failed seeds", { default: "" })
    .action(async options => {
        if (!(options.workload in WORKLOADS)) {
            throw new Error(`There is no workload ${options.workload}.`);
        }
        const temporaryFolder = mkdtempSync(join(tmpdir(), "tanagerdeck-soak-"));
        const programs = options.programs ?? temporaryFolder;
        if (programs === temporaryFolder) {
            await bundlePrograms(programs);
        }
        if (options.planned) {
            await runPlannedSeeds(programs, options);
            rmSync(temporaryFolder, { recursive: true, force: true });
            return;
        }
        let failed = 0;
        const seeds: readonly RunnableSeed[] = options.failed ? FAILED_SEEDS : requestedSeeds(options);
        for (const { seed, seconds, workload = "plain" } of seeds) {
            const result = await runSoak({
                seed,
                programs,
                seconds,
                entries: Number(options.entries),
                workers: Number(options.workers),
                workload: WORKLOADS[workload],
                progress: line => process.stderr.write(`${line}\n`),
            });
            failed += result.broken.length > 0 ? 1 : 0;
            printResult(result);
            if (result.broken.length > 0 && options.logs !== "") {
                mkdirSync(options.logs, { recursive: true });
                writeFileSync(join(options.logs, `soak-${seed}.log`), result.output);
            }
        }
        rmSync(temporaryFolder, { recursive: true, force: true });
        process.exitCode = failed > 0 ? 1 : 0;
    });
cli.help();
cli.parse();

/** Runs the requested seeds with planned work only; the exit status is 1 if a call has no answer or a stop is killed. */
async function runPlannedSeeds(
    programs: string,
    options: SeedOptions & { entries: number; workers: number; logs: string },
): Promise<void> {
    for (const { seed, seconds } of requestedSeeds(options)) {
        const { output, events, ...result } = await runConnectionSoak({
            seed,
            programs,
            seconds,
            entries: Number(options.entries),
            workers: Number(options.workers),
        });
        process.stdout.write(`${JSON.stringify(result)}\n`);
        if (result.lost.length + result.killed + result.silent > 0) {
            process.exitCode = 1;
            if (options.logs !== "") {
                mkdirSync(options.logs, { recursive: true });
                writeFileSync(join(options.logs, `stop-${seed}.log`), `${events.join("\n")}\n${output}`);
            }
        }
    }
}

type RunnableSeed = Pick<FailedSeed, "seed" | "seconds" | "workload">;

/** Options of the command line that say which seeds to run. */
interface SeedOptions {
    seed: number;
    seeds: number;
    seconds: number;
    workload: WorkloadName;
}

function requestedSeeds(options: SeedOptions): RunnableSeed[] {
    const first = Number(options.seed);
    return Array.from({ length: Number(options.seeds) }, (_, index) => ({
        seed: first + index,
        seconds: Number(options.seconds),
        workload: options.workload,
    }));
}

function printResult({ output: _output, faults, evacuations, starved, ...result }: SoakResult): void {
    const shown =
        result.broken.length > 0
            ? { ...result, faults, evacuations, starved }
            : {
                  ...result,
                  faults: faults.length,
                  evacuations: evacuations.length,
                  starved: starved.length,
              };
    process.stdout.write(`${JSON.stringify(shown)}\n`);
}
