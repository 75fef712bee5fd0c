/** Copy-on-write updates of read-only maps. */

/** Returns a copy of `map` in which `key` is bound to `value`. */
export function setEntry<K, V>(
  map: ReadonlyMap<K, V>,
  key: K,
  value: V,
): ReadonlyMap<K, V> {
  const copy = new Map(map);
  copy.set(key, value);
  return copy;
}

/** Returns a copy of `map` without `key`; `map` itself if `key` is absent. */
export function deleteEntry<K, V>(
  map: ReadonlyMap<K, V>,
  key: K,
): ReadonlyMap<K, V> {
  if (!map.has(key)) {
    return map;
  }
  const copy = new Map(map);
  copy.delete(key);
  return copy;
}
