/** Returns a manifest like that of the small speech desk: a model service and a plain one, with routes of all kinds. */
export function manifest ({ draftTimeoutMs = 12000, plainTimeoutMs = 1000, models = ['m1', 'm2'], modelMb = 16100, runnerMb = 83000 } = {}) {
  return {
    Version: 3,
    Routes: [
      { Name: 'r-entwurf', Hostname: 'desk.example', PathPrefix: '/entwurf/', RouteKind: 'streaming', TimeoutMs: draftTimeoutMs, GoalMs: 500, Priority: 1, Service: 'sprachmodelle', Attempts: 2, Sticky: true, Resumable: true, GapTargetMs: 200 },
      { Name: 'r-freigabe', Hostname: 'desk.example', PathPrefix: '/freigabe/', RouteKind: 'non_idempotent', TimeoutMs: plainTimeoutMs, GoalMs: 193, Priority: 2, Service: 'redenkanzlei', Attempts: 1 },
      { Name: 'r-archiv', Hostname: 'desk.example', PathPrefix: '/archiv/', RouteKind: 'idempotent', TimeoutMs: plainTimeoutMs, GoalMs: 193, Priority: 2, Service: 'redenkanzlei', Attempts: 2 }
    ],
    Services: [
      { Name: 'sprachmodelle', HealthPath: '/healthz', MaxConnections: 490, Protocol: 'h1', Tls: false, Engine: { Slots: 96, KvCapacity: 159249, KvBytes: 131072, LinkMbps: 260000, Moves: true, Backups: true, Stride: 6, Cap: 12, HostMb: 55000, DiskMb: 320000, PinMs: 4000, HoldMs: 2000, handle_s: 5, Models: models.map((Name) => ({ Name, WeightsMb: modelMb, LoadTimeS: 6, Adapters: 0, AdapterSizeMb: 14, WarmS: 0.27, DiskS: 0.35 })), WeightsMb: runnerMb, AdapterSlots: 8, LoadsPerS: 2.7 } },
      { Name: 'redenkanzlei', HealthPath: '/healthz', MaxConnections: 100, Protocol: 'h1', Tls: false }
    ],
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 }
  }
}

/** Headers of a request for a draft. */
export const DRAFT = { Model: 'm1', 'Token-Count': '715,48', 'Prompt-Prefix': '5c1e07a2:100,91bd3f06:70,e4402b7d:545' }
