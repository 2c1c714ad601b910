import { dirname } from "node:path";
import type { Plugin } from "esbuild";

/**
 * Native or optional modules that bunyan tries to load. In a single executable, Node warns on standard error
 * about each `require` of a module that is not built in, so they are replaced by a module that throws.
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

/** Bundles only zod's English messages; its main module loads all translations, which costs about 3 MB. */
const englishMessages: Plugin = {
    name: "english-messages",
    setup(setup) {
        setup.onResolve({ filter: /locales\/index\.js$/ }, args =>
            args.resolveDir.includes("/zod/") ? { path: args.resolveDir, namespace: "locales" } : undefined,
        );
        setup.onLoad({ filter: /.*/, namespace: "locales" }, args => ({
            contents: 'export { default as en } from "../locales/en.js";',
            resolveDir: args.path,
        }));
    },
};

/** Exports of undici that are loaded on first use. */
const UNDICI_LAZY_EXPORTS = ["errors", "fetch", "request", "Headers", "Request", "Response", "FormData"];

/** Loads only undici's dispatchers at start; its own index also loads fetch, web sockets and mocks. */
const undiciDispatchers: Plugin = {
    name: "undici-dispatchers",
    setup(setup) {
        setup.onResolve({ filter: /^undici$/ }, async args => {
            if (args.pluginData === "whole") {
                return undefined;
            }
            const found = await setup.resolve("undici", {
                kind: args.kind,
                resolveDir: args.resolveDir,
                pluginData: "whole",
            });
            return { path: dirname(found.path), namespace: "undici" };
        });
        setup.onLoad({ filter: /.*/, namespace: "undici" }, args => ({
            resolveDir: args.path,
            contents: `
                const Dispatcher = require("./lib/dispatcher/dispatcher");
                Object.assign(Dispatcher.prototype, require("./lib/api"));
                module.exports = {
                    Agent: require("./lib/dispatcher/agent"),
                    Client: require("./lib/dispatcher/client"),
                    Dispatcher,
                    Pool: require("./lib/dispatcher/pool"),
                    ${UNDICI_LAZY_EXPORTS.map(name => `get ${name}() { return require("./index.js").${name}; }`).join(",\n")}
                };`,
        }));
    },
};

/** The esbuild plugins of every bundle. */
export const bundlePlugins = [optionalModules, englishMessages, undiciDispatchers];
