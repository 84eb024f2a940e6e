import type { RolePlugin } from "./plugin.js";

const plugins = new Map<string, RolePlugin>();

/** Makes a role available to settings. */
export function registerRolePlugin(plugin: RolePlugin): void {
    plugins.set(plugin.name, plugin);
}

/** A registered role, or `undefined`. */
export function getRolePlugin(name: string): RolePlugin | undefined {
    return plugins.get(name);
}

/** All registered roles, by name. */
export function listRolePlugins(): RolePlugin[] {
    return [...plugins.values()].sort((left, right) => left.name < right.name ? -1 : 1);
}
