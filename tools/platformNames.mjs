// Fails if code outside platform/ uses a name that only the users' platform defines, or imports the platform adapter.
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const root = new URL("..", import.meta.url).pathname;
// Headers, paths, settings and fields that only the platform uses, without common HTTP names.
const names = [
    "Request-Id", "Deadline-Ms", "Prompt-Prefix", "Last-Event-Id", "Server-Stamp", "Expect-Instance", "Server-Load", "Not-Run",
    "Instance-Id", "Token-Count", "Request-Priority", "Weight-Versions", "Expect-Version", "Length-Hint", "At-Server",
    "/-/ready", "/-/config", "/-/instances", "/-/report", "/-/order", "KUMQUATHALL_NODE_FILE", "PathPrefix", "ApiKeys", "GoalMs",
    "GapTargetMs", "HeartbeatAddr", "ColdLeftMs", "KvCapacity", "LoadsPerS", "InnerPorts", "CountsAsLoss", "BudgetSlack",
];
// The other packages use these names in lower case ("request-id", "not-run"), so only this spelling is reported.
const lowerCaseAllowed = ["Request-Id", "Not-Run"];
const quote = list => `["'\`](${list.join("|")})["'\`]`;
const patterns = [new RegExp(quote(names)), new RegExp(quote(names.filter(name => !lowerCaseAllowed.includes(name))), "i")];
const problems = [];

function listSources(folder) {
    return readdirSync(folder, { withFileTypes: true }).flatMap(item => {
        const path = join(folder, item.name);
        if (item.name === "dist" || item.name === "node_modules") {
            return [];
        }
        return item.isDirectory() ? listSources(path) : path.endsWith(".ts") ? [path] : [];
    });
}

for (const file of listSources(join(root, "packages"))) {
    readFileSync(file, "utf8").split("\n").forEach((line, index) => {
        const match = patterns.map(pattern => pattern.exec(line)).find(result => result !== null);
        const found = match?.[1] ?? (line.includes("@kumquathall/platform") ? "@kumquathall/platform" : undefined);
        if (found !== undefined) {
            problems.push(`${file.slice(root.length)}:${index + 1} uses ${found}, which only platform/ may use`);
        }
    });
}
if (problems.length > 0) {
    console.error(problems.join("\n"));
    process.exit(1);
}
