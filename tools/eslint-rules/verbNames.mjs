// Requires names of functions and methods to begin with a verb from the list in docs/STYLE.md.
import { readFileSync } from "node:fs";

const style = readFileSync(new URL("../../docs/STYLE.md", import.meta.url), "utf8");
const verbList = /<!-- verbs -->([\s\S]*?)<!-- \/verbs -->/.exec(style)?.[1] ?? "";
const verbs = new Set(verbList.split(/[^a-z]+/).filter(word => word !== ""));

function startsWithVerb(name) {
    const firstWord = /^[a-z]+/.exec(name)?.[0];
    return firstWord !== undefined && (verbs.has(firstWord) || /^on[A-Z]/.test(name));
}

export default {
    meta: { type: "suggestion", schema: [], messages: { verb: "\"{{name}}\" does not begin with a verb from the list in docs/STYLE.md" } },
    create(context) {
        const check = (node, name) => {
            if (name !== undefined && name !== "constructor" && !startsWithVerb(name)) {
                context.report({ node, messageId: "verb", data: { name } });
            }
        };
        return {
            FunctionDeclaration: node => check(node, node.id?.name),
            MethodDefinition: node => {
                if (node.key.type === "Identifier" && node.kind === "method") {
                    check(node, node.key.name);
                }
            },
        };
    },
};
