import type { RolePlugin } from "./plugin.js";

const plugins = new Map<string, RolePlugin>();

/** Registers a role, so that settings can name it. */
export function registerRolePlugin(plugin: RolePlugin): void {
    plugins.set(plugin.name, plugin);
}

/** Returns a registered role by name, or `undefined`. */
export function getRolePlugin(name: string): RolePlugin | undefined {
    return plugins.get(name);
}

/** Lists all registered roles, sorted by name. */
export function listRolePlugins(): RolePlugin[] {
    return [...plugins.values()].sort((left, right) => left.name < right.name ? -1 : 1);
}
