export default {
    paths: ["packages/*/src/**/*.feature"],
    import: ["packages/*/dist/**/*.steps.js"],
    format: ["summary"],
    strict: true,
};
