/** How callers use their connections. */
import type { Random } from '@lynxcourse/base'
import type { CallerConnection, RequestPart } from './callerConnection.js'
import { createPromptRequest, createSlowRequest } from './requestParts.js'
import type { RequestContent } from './requestParts.js'
import type { CallerHabit } from './types.js'

/** A habit decides which connection carries the next request and how the request is sent. */
export abstract class Habit {
  /** Whether each request announces that its connection is closed after it. */
  readonly announcesClose: boolean = false
  /** Whether the caller closes its half of the connection after the request. */
  readonly halfCloses: boolean = false
  /** Whether answers are read slowly. */
  readonly readsSlowly: boolean = false
  /** Whether all requests have a body. */
  readonly hasBody: boolean = false
  /** Whether the caller opens one connection at a time. */
  readonly isSingle: boolean = false
  /** Whether a connection carries the requests of one turn only. */
  readonly usesOnce: boolean = false

  /** Returns an open connection for the next request; undefined if it needs a new one. */
  abstract chooseConnection (open: readonly CallerConnection[]): CallerConnection | undefined

  /** Number of requests to send on a connection now. */
  countRequests (_connection: CallerConnection, _random: Random): number {
    return 1
  }

  /** Time in milliseconds until the next turn. */
  computePause (requestsPerSecond: number, random: Random): number {
    return (0.5 + random()) * 1000 / requestsPerSecond
  }

  createParts (content: RequestContent, _random: Random): RequestPart[] {
    return createPromptRequest(content)
  }
}

class PoolHabit extends Habit {
  override chooseConnection (open: readonly CallerConnection[]): CallerConnection | undefined {
    return open.find(connection => connection.isUsable && connection.outstandingCount === 0)
  }
}

class FreshHabit extends Habit {
  override readonly usesOnce = true

  override chooseConnection (): undefined {
    return undefined
  }
}

const burst = { min: 2, max: 4 }

class PipelineHabit extends Habit {
  override readonly isSingle = true

  override chooseConnection (open: readonly CallerConnection[]): CallerConnection | undefined {
    return open.find(connection => connection.isUsable && connection.outstandingCount < burst.max)
  }

  override countRequests (_connection: CallerConnection, random: Random): number {
    return burst.min + Math.floor(random() * (burst.max - burst.min + 1))
  }

  override computePause (requestsPerSecond: number, random: Random): number {
    return super.computePause(requestsPerSecond, random) * (burst.min + burst.max) / 2
  }
}

/** Time between the requests of a busy pipeline in milliseconds; servers take longer to answer them. */
export const busyIntervalMs = 80
/** Enough that the caller still sends while an answer near its time limit holds back those behind it. */
const busyDepth = 40

class BusyPipelineHabit extends Habit {
  override readonly isSingle = true

  override chooseConnection (open: readonly CallerConnection[]): CallerConnection | undefined {
    return open.find(connection => connection.isUsable)
  }

  override countRequests ({ outstandingCount }: CallerConnection): number {
    if (outstandingCount === 0) return 2
    return outstandingCount < busyDepth ? 1 : 0
  }

  override computePause (): number {
    return busyIntervalMs
  }
}

class SlowBodyHabit extends PoolHabit {
  override readonly hasBody = true

  override createParts (content: RequestContent, random: Random): RequestPart[] {
    return createSlowRequest(content, random)
  }
}

class SlowReaderHabit extends PoolHabit {
  override readonly readsSlowly = true
}

class HalfCloseHabit extends FreshHabit {
  override readonly halfCloses = true
}

class AnnouncedCloseHabit extends FreshHabit {
  override readonly announcesClose = true
}

/** All habits by name. */
export const habits: Readonly<Record<CallerHabit, Habit>> = {
  pool: new PoolHabit(),
  fresh: new FreshHabit(),
  pipeline: new PipelineHabit(),
  busyPipeline: new BusyPipelineHabit(),
  slowBody: new SlowBodyHabit(),
  slowReader: new SlowReaderHabit(),
  halfClose: new HalfCloseHabit(),
  announcedClose: new AnnouncedCloseHabit()
}
