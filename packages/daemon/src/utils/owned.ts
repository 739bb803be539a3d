/** What a function owns until it hands it on; disposed in reverse order. */

export interface Owned extends AsyncDisposable {
  items: Array<Disposable | AsyncDisposable>
}

export function createOwned (): Owned {
  const owned: Owned = { items: [], [Symbol.asyncDispose]: async () => await disposeOwned(owned) }
  return owned
}

/** Takes a thing into ownership and gives it back for use. */
export function own<Thing extends Disposable | AsyncDisposable> (owned: Owned, thing: Thing): Thing {
  owned.items.push(thing)
  return thing
}

/** Hands everything on: the old owner disposes nothing any more. */
export function moveOwned (owned: Owned): Owned {
  const moved = createOwned()
  moved.items = owned.items
  owned.items = []
  return moved
}

async function disposeOwned (owned: Owned): Promise<void> {
  const items = owned.items.reverse()
  owned.items = []
  for (const item of items) {
    if (Symbol.asyncDispose in item) await item[Symbol.asyncDispose]()
    else item[Symbol.dispose]()
  }
}
