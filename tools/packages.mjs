// Updates each package's dependencies and project references to match its imports. Fails on import cycles.
// Usage: node tools/packages.mjs [--check]; --check reports differences instead of writing files.
import { existsSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const root = new URL("..", import.meta.url).pathname;
const scope = "@kumquathall/";
const isCheck = process.argv.includes("--check");
const rootManifest = JSON.parse(readFileSync(join(root, "package.json"), "utf8"));
const versions = JSON.parse(readFileSync(join(root, "tools", "versions.json"), "utf8"));
const problems = [];

function listSources(folder) {
    return readdirSync(folder, { withFileTypes: true }).flatMap(item => {
        const path = join(folder, item.name);
        return item.isDirectory() ? listSources(path) : path.endsWith(".ts") ? [path] : [];
    });
}

function readImports(file) {
    const text = readFileSync(file, "utf8");
    const found = [...text.matchAll(/(?:from|import\()\s*"([^".][^"]*)"/g), ...text.matchAll(/^import "([^".][^"]*)"/gm)];
    return found.map(match => match[1]).filter(name => !name.startsWith("node:"));
}

function getPackageName(specifier) {
    return specifier.split("/").slice(0, specifier.startsWith("@") ? 2 : 1).join("/");
}

function writeIfChanged(path, text) {
    if (existsSync(path) && readFileSync(path, "utf8") === text) {
        return;
    }
    if (isCheck) {
        problems.push(`${path.slice(root.length)} is not up to date: run "node tools/packages.mjs"`);
        return;
    }
    writeFileSync(path, text);
}

// The platform adapter is a folder at the root; all other packages are in packages/.
const adapter = "platform";
const getFolder = name => name === adapter ? name : `packages/${name}`;
const packageNames = readdirSync(join(root, "packages")).filter(name => existsSync(join(root, "packages", name, "package.json")));
const names = [...packageNames, adapter].sort();
const graph = new Map();
for (const name of names) {
    const folder = join(root, getFolder(name));
    const manifest = JSON.parse(readFileSync(join(folder, "package.json"), "utf8"));
    const sources = listSources(join(folder, "src"));
    const tests = sources.filter(file => file.endsWith(".steps.ts"));
    const collect = files => [...new Set(files.flatMap(readImports).map(getPackageName))].sort();
    for (const file of sources) {
        for (const specifier of readImports(file).filter(item => item.startsWith(scope))) {
            if (specifier.split("/").length > 2) {
                problems.push(`${file.slice(root.length)} imports ${specifier}: import the package by its name`);
            }
        }
    }
    const imported = collect(sources.filter(file => !tests.includes(file)));
    const testImported = collect(tests);
    const workspaceImports = [...new Set([...imported, ...testImported])].filter(item => item.startsWith(scope) && item !== scope + name).sort();
    graph.set(name, imported.filter(item => item.startsWith(scope) && item !== scope + name).map(item => item.slice(scope.length)));
    const dependencies = {};
    for (const item of imported.filter(item => item !== scope + name)) {
        dependencies[item] = item.startsWith(scope) ? "0.1.0" : versions[item] ?? rootManifest.devDependencies[item];
        if (dependencies[item] === undefined) {
            problems.push(`${getFolder(name)} imports ${item}, which tools/versions.json does not list`);
        }
    }
    manifest.dependencies = dependencies;
    writeIfChanged(join(folder, "package.json"), JSON.stringify(manifest, undefined, 4) + "\n");
    const packagesPath = name === adapter ? "../packages" : "..";
    const references = workspaceImports.map(item => ({ path: `${packagesPath}/${item.slice(scope.length)}` }));
    const config = { extends: name === adapter ? "../tsconfig.base.json" : "../../tsconfig.base.json", compilerOptions: { rootDir: "src", outDir: "dist" }, include: ["src"], references };
    writeIfChanged(join(folder, "tsconfig.json"), JSON.stringify(config, undefined, 4) + "\n");
}
const solution = { files: [], references: names.map(name => ({ path: getFolder(name) })) };
writeIfChanged(join(root, "tsconfig.json"), JSON.stringify(solution, undefined, 4) + "\n");

const visiting = new Set();
const done = new Set();
function findCycle(name, path) {
    if (visiting.has(name)) {
        problems.push(`import cycle: ${[...path, name].join(" -> ")}`);
        return;
    }
    if (done.has(name)) {
        return;
    }
    visiting.add(name);
    for (const next of graph.get(name) ?? []) {
        findCycle(next, [...path, name]);
    }
    visiting.delete(name);
    done.add(name);
}
names.forEach(name => findCycle(name, []));
if (problems.length > 0) {
    console.error(problems.join("\n"));
    process.exit(1);
}
