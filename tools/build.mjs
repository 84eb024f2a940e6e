// Installs the locked dependencies unless they are installed, and compiles what has changed.
import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";

const root = new URL("..", import.meta.url).pathname;

export function run(command, args, options = {}) {
    const result = spawnSync(command, args, { cwd: root, stdio: "inherit", ...options });
    if (result.status !== 0) {
        process.exit(result.status ?? 1);
    }
}

if (!existsSync(`${root}node_modules/.package-lock.json`)) {
    run("npm", ["ci", "--no-audit", "--no-fund", "--loglevel=error"]);
}
run(process.execPath, [`${root}node_modules/typescript/bin/tsc`, "-b"]);
