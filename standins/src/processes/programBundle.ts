import { existsSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { build, type BuildOptions, type Plugin } from "esbuild";

/**
 * Native or optional modules that bunyan tries to load. In a single executable, Node warns on standard error
 * about each `require` of a module that is not built in, so their place is taken by a module that throws.
 */
const optionalModules: Plugin = {
    name: "optional-modules",
    setup(setup) {
        setup.onResolve(
            { filter: /^(dtrace-provider|mv|safe-json-stringify|source-map-support)$/ },
            args => ({
                path: args.path,
                namespace: "optional",
            }),
        );
        setup.onLoad({ filter: /.*/, namespace: "optional" }, () => ({
            contents: 'throw new Error("This module is not part of the bundle.");',
        }));
    },
};

/** Programs by bundle name, as paths from the root of the repository. */
const PROGRAMS = {
    tanagerdeck: "packages/tanagerdeck/src/start.ts",
    platform: "standins/src/programs/platformProgram.ts",
    runner: "standins/src/programs/runnerProgram.ts",
    worker: "standins/src/programs/workerProgram.ts",
};

/** Name of a bundled program. */
export type ProgramName = keyof typeof PROGRAMS;

/** Root of the repository. */
export const REPOSITORY_ROOT = fileURLToPath(new URL("../../../", import.meta.url));

/** The path of a bundled program in a folder. */
export function programPath(folder: string, program: ProgramName): string {
    return join(folder, `${program}.cjs`);
}

/** Bundles all programs as CommonJS files in `folder`, in well under a second. */
export async function bundlePrograms(folder: string): Promise<void> {
    const entryPoints: Record<string, string> = {};
    for (const [name, path] of Object.entries(PROGRAMS)) {
        if (existsSync(join(REPOSITORY_ROOT, path))) {
            entryPoints[name] = path;
        }
    }
    await bundle({ entryPoints, outdir: folder });
}

/** Bundles with the settings that all programs share. */
export async function bundle(options: BuildOptions): Promise<void> {
    await build({
        absWorkingDir: REPOSITORY_ROOT,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        outExtension: { ".js": ".cjs" },
        plugins: [optionalModules],
        logLevel: "error",
        ...options,
    });
}
