import js from "@eslint/js";
import tseslint from "typescript-eslint";

// The decisions package has no I/O: it may import no transport, runtime or other workspace package.
const DECISIONS_FORBIDDEN = ["node:*", "undici", "@trpc/*", "bunyan", "prom-client", "@tanagerdeck/*"];

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**"] },
    js.configs.recommended,
    ...tseslint.configs.recommended,
    {
        rules: {
            curly: ["error", "all"],
            eqeqeq: ["error", "always"],
            "no-restricted-syntax": [
                "error",
                { selector: "TSEnumDeclaration", message: "Use a string union instead of an enum." },
                { selector: "Literal[raw='null']", message: "Use undefined instead of null." },
                {
                    selector: "CallExpression[callee.property.name='forEach']",
                    message: "Use a for...of loop instead of forEach.",
                },
            ],
            "@typescript-eslint/no-unused-vars": [
                "error",
                { argsIgnorePattern: "^_", varsIgnorePattern: "^_" },
            ],
            "@typescript-eslint/naming-convention": [
                "error",
                {
                    selector: "typeLike",
                    format: ["PascalCase"],
                    custom: { regex: "^(I[A-Z][a-z]|T[A-Z][a-z])", match: false },
                },
            ],
        },
    },
    {
        files: ["packages/decisions/src/**/*.ts"],
        ignores: ["**/*.spec.ts"],
        rules: {
            "no-restricted-imports": ["error", { patterns: [{ group: DECISIONS_FORBIDDEN }] }],
            "no-restricted-globals": [
                "error",
                "setTimeout",
                "setInterval",
                "setImmediate",
                "fetch",
                "process",
            ],
        },
    },
    {
        files: ["**/*.spec.ts"],
        rules: { "@typescript-eslint/no-unused-expressions": "off" },
    },
    {
        files: ["**/*.js", "**/*.mjs"],
        languageOptions: { globals: { process: "readonly", console: "readonly" } },
    },
);
