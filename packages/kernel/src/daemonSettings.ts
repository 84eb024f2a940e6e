/** Content of a daemon's settings file. */
export interface DaemonSettings {
    cluster: string;
    region: string;
    dataCentre: string;
    /** Name of the control group that this process is a member of or is controlled by. */
    controlGroup: string;
    /** Name of this process, unique in the cluster. */
    id: string;
    logLevel: "debug" | "info" | "warn" | "error";
    /** `host:port` of the HTTP server for liveness, readiness and metrics; none without it. */
    operations?: string;
    tls?: { certificateFile: string; keyFile: string; authorityFile: string };
    /** Settings of each role that this process runs, by role name. */
    roles: Record<string, unknown>;
}
