"""Name the kinds of documents that daemons store and exchange."""

CONFIGURATION = "configuration"
CONFIGURATION_NAME = "main"
ORDERS = "orders"
EVACUATIONS = "evacuations"
DAEMONS = "daemons"
# Read and written by the daemon that reports usage only.
LEASES = "leases"
USAGE_LEASE_NAME = "usage"
USAGE_WINDOWS_NAME = "usage-windows"

KINDS = (CONFIGURATION, DAEMONS, ORDERS, EVACUATIONS)
