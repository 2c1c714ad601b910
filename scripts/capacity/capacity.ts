/**
 * Command `npm run capacity`: measures processor time, traffic and memory of entries and agents against the size of a
 * deployment and prints Markdown tables. A full run also writes them to docs/CAPACITY.md.
 */
import { existsSync, mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { bundle, bundlePrograms } from "@tanagerdeck/standins/processes/programBundle";
import { memoryTable, replaceTables, slopeTable } from "./capacityTable.ts";
import { measureBareRuntime, measureMemory, type MemoryRow } from "./memory.ts";
import { series, type SeriesOptions, type Slope } from "./series.ts";

const PAGE = "docs/CAPACITY.md";
const DECISION_SLOPE = new URL("./decisionSlope.ts", import.meta.url);
const FULL_RUN = { seconds: 60, warmUpSeconds: 10 };
const QUICK_RUN = { seconds: 8, warmUpSeconds: 2 };

const { values } = parseArgs({
    options: { quick: { type: "boolean", default: false }, seed: { type: "string", default: "1" } },
});
const folder = mkdtempSync(join(tmpdir(), "tanagerdeck-programs-"));
const programsWithHeapFlags = join(folder, "flagged");
const programsWithoutHeapFlags = join(folder, "plain");
await bundlePrograms(programsWithHeapFlags);
await bundlePrograms(programsWithoutHeapFlags);
await bundle({
    entryPoints: { tanagerdeck: "packages/tanagerdeck/src/start.ts" },
    outdir: programsWithoutHeapFlags,
});

const seed = Number(values.seed);
const options: SeriesOptions = {
    programs: programsWithHeapFlags,
    seed,
    ...(values.quick ? QUICK_RUN : FULL_RUN),
};
// The series run concurrently, each on its own deployment; processor time is counted for each process.
const [slopes, memory, decisions] = await Promise.all([measureSlopes(), measureMemories(), decisionSlopes()]);
rmSync(folder, { recursive: true, force: true });

const command = `npm run capacity -- --seed ${seed}${values.quick ? " --quick" : ""}`;
const conditions = `Command \`${command}\`, ${new Date().toISOString().slice(0, 10)}, ${options.seconds} s for each point.`;
const text = [conditions, slopeTable([...slopes, ...decisions]), memoryTable(memory)].join("\n\n");
process.stdout.write(`${text}\n`);
if (!values.quick) {
    replaceTables(PAGE, text);
}

async function measureSlopes(): Promise<Slope[]> {
    const results = await Promise.all(Object.values(series).map(measure => measure(options)));
    return results.flat();
}

async function measureMemories(): Promise<MemoryRow[]> {
    const [bare, withFlags, withoutFlags] = await Promise.all([
        measureBareRuntime(),
        measureMemory("heap flags", programsWithHeapFlags, options.seconds, seed),
        measureMemory("no heap flags", programsWithoutHeapFlags, options.seconds, seed),
    ]);
    return [bare, ...withFlags, ...withoutFlags];
}

/** The slopes of the decision functions, or none if decisionSlope.ts does not exist. */
async function decisionSlopes(): Promise<Slope[]> {
    if (!existsSync(DECISION_SLOPE)) {
        return [];
    }
    const module = (await import(DECISION_SLOPE.href)) as { decisionSlope: () => Slope[] };
    return module.decisionSlope();
}
