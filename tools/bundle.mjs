// Bundles the platform's daemon into one file in target/, so that start-up reads one file instead of hundreds.
import { build } from "esbuild";
import "./build.mjs";

const root = new URL("..", import.meta.url).pathname;
await build({
    entryPoints: [`${root}platform/dist/main.js`],
    outfile: `${root}target/kumquathalld.cjs`,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minify: true,
    keepNames: true,
    // Excludes the native accelerator of the CBOR codec: the JavaScript codec behaves the same on every machine.
    external: ["cbor-extract"],
    define: { "process.env.CBOR_NATIVE_ACCELERATION_DISABLED": "\"true\"" },
    logLevel: "warning",
});
