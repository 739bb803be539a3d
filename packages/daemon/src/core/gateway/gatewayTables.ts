/** Builds the gateway's tables of routes and teams when one of the items that they come from changed. */
import { buildRouteTable, buildTeamTable } from '@lynxcourse/routing'
import { findItem, listItems, routingKey } from '@lynxcourse/state'
import type { Config, ConfigItem, RouteSet } from '@lynxcourse/state'
import type { Gateway } from './gateway.js'

/**
 * Rebuilds the tables, unless only servers or evacuations changed, which is nearly always so. A new table also discards the routes
 * that were worked out for each team, and makes the VM divide the limits of all teams again.
 */
export function refreshTables (gateway: Gateway, routeSet: RouteSet | undefined): void {
  const { config } = gateway.node
  const items = listTableItems(config)
  const { tableItems } = gateway
  if (items.length === tableItems.length && items.every((item, index) => item === tableItems[index])) return
  gateway.tableItems = items
  gateway.routeTable = buildRouteTable(routeSet?.routes ?? [])
  gateway.teams = buildTeamTable(listItems(config, 'team'), routeSet?.teams !== undefined)
}

/** Lists the items that the tables come from. A changed item is another object. */
function listTableItems (config: Config): ConfigItem[] {
  const routing = findItem(config, 'routing', routingKey)
  return [...routing === undefined ? [] : [routing], ...listItems(config, 'route'), ...listItems(config, 'team')]
}
