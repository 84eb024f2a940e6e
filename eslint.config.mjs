import tseslint from "typescript-eslint";
import verbNames from "./tools/eslint-rules/verbNames.mjs";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "**/*.mjs", "**/*.js"] },
    ...tseslint.configs.recommendedTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        plugins: { kumquathall: { rules: { "verb-names": verbNames } } },
        rules: {
            "kumquathall/verb-names": "error",
            "curly": ["error", "all"],
            "prefer-const": "error",
            "eqeqeq": ["error", "always"],
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "inline-type-imports", prefer: "type-imports" }],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/require-await": "off",
            "@typescript-eslint/no-unused-expressions": ["error", { allowTernary: true }],
            "@typescript-eslint/only-throw-error": "off",
            "@typescript-eslint/restrict-template-expressions": "off",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z][a-z]", match: false } },
                { selector: "function", format: ["camelCase"] },
                { selector: "classProperty", modifiers: ["private"], format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
        },
    },
    {
        files: ["**/*.steps.ts"],
        rules: { "kumquathall/verb-names": "off" },
    },
);
