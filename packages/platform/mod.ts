/**
 * Abstract interfaces to the hosting platform and their implementations over HTTP.
 *
 * @module
 */
export * from './http_headers.ts'
export * from './chunk_list.ts'
export * from './compare_lists.ts'
export * from './engine.ts'
export * from './engine_control.ts'
export * from './find_header_fault.ts'
export * from './host_settings.ts'
export * from './http_call.ts'
export * from './http_engine.ts'
export * from './http_store.ts'
export * from './instance_list.ts'
export * from './platform_engine_control.ts'
export * from './platform_store.ts'
export * from './read_body.ts'
export * from './registry.ts'
export * from './store.ts'
export * from './store_instance_list.ts'
