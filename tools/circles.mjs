// Fails if the files of a package form an import cycle. Type imports count, too.
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative, resolve } from "node:path";

const root = new URL("..", import.meta.url).pathname;
const IMPORT = /^(?:import|export) [^;]*?from "(\.[^"]+)";/gms;

function listSources(folder) {
    return readdirSync(folder, { withFileTypes: true }).flatMap(item => {
        const path = join(folder, item.name);
        return item.isDirectory() ? listSources(path) : path.endsWith(".ts") ? [path] : [];
    });
}

function readImports(file) {
    const found = [...readFileSync(file, "utf8").matchAll(IMPORT)];
    return found.map(match => resolve(dirname(file), match[1].replace(/\.js$/, ".ts")));
}

/** Searches depth first; a file that is already on the current path closes a cycle. */
function findCycles(imports) {
    const cycles = [];
    const done = new Set();
    const visit = (file, path) => {
        const start = path.indexOf(file);
        if (start >= 0) {
            cycles.push([...path.slice(start), file]);
        }
        else if (!done.has(file)) {
            (imports.get(file) ?? []).forEach(next => visit(next, [...path, file]));
            done.add(file);
        }
    };
    [...imports.keys()].forEach(file => visit(file, []));
    return cycles;
}

const folders = [...readdirSync(`${root}packages`).map(name => `${root}packages/${name}/src`), `${root}platform/src`];
const cycles = folders.filter(existsSync).flatMap(folder =>
    findCycles(new Map(listSources(folder).map(file => [file, readImports(file)])))
);
cycles.forEach(cycle => console.error(`import cycle: ${cycle.map(file => relative(root, file)).join(" -> ")}`));
process.exit(cycles.length === 0 ? 0 : 1);
