/** Content of a daemon's settings file. */
export interface DaemonSettings {
    cluster: string;
    region: string;
    dataCentre: string;
    /** Name of the control group that decides for this process. */
    controlGroup: string;
    /** Unique name of this process. */
    id: string;
    logLevel: "debug" | "info" | "warn" | "error";
    /** Address of liveness, readiness and metrics over HTTP. */
    operations?: string;
    tls?: { certificateFile: string; keyFile: string; authorityFile: string };
    /** Settings of each role that this process runs, by the role's name. */
    roles: Record<string, unknown>;
}
