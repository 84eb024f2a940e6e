export default {
    paths: ["packages/*/src/**/*.feature", "platform/src/**/*.feature"],
    import: ["packages/*/dist/**/*.steps.js", "platform/dist/**/*.steps.js"],
    format: ["summary"],
    strict: true,
};
