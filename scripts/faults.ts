/**
 * Command `npm run faults`: runs the fault specs with mocha, or with `--list` prints the full title of each of their
 * tests.
 */
import { spawnSync } from "node:child_process";

/** A test as mocha's JSON reporter prints it. */
interface TestCase {
    fullTitle: string;
}

const MOCHA = ["node_modules/mocha/bin/mocha.js", "--config", ".mocharc.faults.json"];

if (process.argv.includes("--list")) {
    const dryRun = spawnSync(process.execPath, [...MOCHA, "--dry-run", "--reporter", "json"], {
        encoding: "utf8",
    });
    const { tests } = JSON.parse(dryRun.stdout.slice(dryRun.stdout.indexOf("{\n"))) as { tests: TestCase[] };
    for (const { fullTitle } of tests) {
        process.stdout.write(`${fullTitle}\n`);
    }
} else {
    const run = spawnSync(process.execPath, MOCHA, { stdio: "inherit" });
    process.exitCode = run.status ?? 1;
}
