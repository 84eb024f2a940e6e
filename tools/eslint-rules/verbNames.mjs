// Functions and methods begin with a verb that docs/STYLE.md lists.
import { readFileSync } from "node:fs";

const style = readFileSync(new URL("../../docs/STYLE.md", import.meta.url), "utf8");
const list = /<!-- verbs -->([\s\S]*?)<!-- \/verbs -->/.exec(style)?.[1] ?? "";
const verbs = new Set(list.split(/[^a-z]+/).filter(word => word !== ""));

function startsWithVerb(name) {
    const first = /^[a-z]+/.exec(name)?.[0];
    return first !== undefined && (verbs.has(first) || /^on[A-Z]/.test(name));
}

export default {
    meta: { type: "suggestion", schema: [], messages: { verb: "\"{{name}}\" does not begin with a verb of docs/STYLE.md" } },
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
