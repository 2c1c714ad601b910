import { spawnSync } from "node:child_process";
import { expect } from "chai";

const MODULE = new URL("./heapFlags.ts", import.meta.url).href;
/** Script that prints by which factor the young generation grows while recent objects are kept alive. */
const ALLOCATE = `
    const size = () =>
        v8.getHeapSpaceStatistics().find(({ space_name }) => space_name === "new_space").space_size;
    const before = size();
    const kept = [];
    for (let index = 0; index < 400_000; index++) {
        kept[index % 4_000] = JSON.parse(JSON.stringify({ index, text: "x".repeat(200) }));
    }
    console.log(size() / before);`;

describe("the heap flags", () => {
    function youngGenerationGrowth(prepare: string): number {
        const script = `import v8 from "node:v8"; ${prepare} ${ALLOCATE}`;
        const flags = ["--import", "tsx", "--input-type=module", "-e", script];
        return Number(spawnSync(process.execPath, flags, { encoding: "utf8" }).stdout);
    }

    describe("when a process allocates steadily", () => {
        it("keep the young generation from growing, unlike a flag that V8 reads only at its start", () => {
            const apply = `const flags = await import("${MODULE}"); flags.applyHeapFlags(flags.HEAP_FLAGS);`;
            expect(youngGenerationGrowth(apply)).to.equal(1);
            expect(youngGenerationGrowth("")).to.be.greaterThan(1);
        });
    });
});
