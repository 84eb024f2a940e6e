// Fails if files of one package import each other in a circle, types included.
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

/** Visits files depth first; a file that is met again while it is still being visited closes a circle. */
function findCircles(imports) {
    const circles = [];
    const done = new Set();
    const visit = (file, path) => {
        const at = path.indexOf(file);
        if (at >= 0) {
            circles.push([...path.slice(at), file]);
        }
        else if (!done.has(file)) {
            (imports.get(file) ?? []).forEach(next => visit(next, [...path, file]));
            done.add(file);
        }
    };
    [...imports.keys()].forEach(file => visit(file, []));
    return circles;
}

const folders = [...readdirSync(`${root}packages`).map(name => `${root}packages/${name}/src`), `${root}platform/src`];
const circles = folders.filter(existsSync).flatMap(folder =>
    findCircles(new Map(listSources(folder).map(file => [file, readImports(file)])))
);
circles.forEach(circle => console.error(`imports in a circle: ${circle.map(file => relative(root, file)).join(" -> ")}`));
process.exit(circles.length === 0 ? 0 : 1);
