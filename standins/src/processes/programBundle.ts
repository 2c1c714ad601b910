import { existsSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { build, type BuildOptions } from "esbuild";
import { bundlePlugins } from "./bundlePlugins.ts";

/** Entry points by bundle name, as paths relative to the root of the repository. */
const PROGRAMS = {
    tanagerdeck: "packages/tanagerdeck/src/start.ts",
    platform: "standins/src/programs/platformProgram.ts",
    runner: "standins/src/programs/runnerProgram.ts",
    worker: "standins/src/programs/workerProgram.ts",
    caller: "standins/src/programs/callerProgram.ts",
};

/** Name of a bundled program. */
export type ProgramName = keyof typeof PROGRAMS;

/** Root of the repository. */
export const REPOSITORY_ROOT = fileURLToPath(new URL("../../../", import.meta.url));

/** The path of a bundled program in a folder. */
export function programPath(folder: string, program: ProgramName): string {
    return join(folder, `${program}.cjs`);
}

/** Bundles all programs as CommonJS files in `folder`; takes well under a second. */
export async function bundlePrograms(folder: string): Promise<void> {
    const entryPoints: Record<string, string> = {};
    for (const [name, path] of Object.entries(PROGRAMS)) {
        if (existsSync(join(REPOSITORY_ROOT, path))) {
            entryPoints[name] = path;
        }
    }
    await bundle({ entryPoints, outdir: folder });
}

/** Runs esbuild with the options that all programs share. */
export async function bundle(options: BuildOptions): Promise<void> {
    await build({
        absWorkingDir: REPOSITORY_ROOT,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        outExtension: { ".js": ".cjs" },
        plugins: bundlePlugins,
        // Minified because Node keeps the source in memory; identifiers are kept for readable stack traces.
        minifyWhitespace: true,
        minifySyntax: true,
        logLevel: "error",
        ...options,
    });
}
