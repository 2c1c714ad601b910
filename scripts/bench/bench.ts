/**
 * Command `npm run bench`: runs all benches and prints one JSON line for each measure, with its ratio to the baseline.
 */
import { type Bench } from "./benchTypes.ts";
import { controlBench } from "./controlBench.ts";
import { gangBench } from "./gangBench.ts";
import { placementBench } from "./placementBench.ts";
import { planBench } from "./planBench.ts";
import { platformReturnBench } from "./platformReturnBench.ts";
import { requestBench } from "./requestBench.ts";

// In the order in which they run and print.
const benches: Bench[] = [
    requestBench,
    placementBench,
    planBench,
    gangBench,
    controlBench,
    platformReturnBench,
];

for (const bench of benches) {
    for (const measure of await bench()) {
        const ratio = Number((measure.value / measure.baseline).toFixed(3));
        process.stdout.write(`${JSON.stringify({ ...measure, ratio })}\n`);
    }
}
