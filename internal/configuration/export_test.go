package configuration

// Exports for the tests in package configuration_test.
var (
	FirstPatch = firstPatch
	TenantEdit = tenantEdit
	Encoded    = encoded
)
