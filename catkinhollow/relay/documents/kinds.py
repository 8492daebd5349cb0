"""Name the kinds of documents that daemons store and exchange."""

CONFIGURATION = "configuration"
CONFIGURATION_NAME = "main"
ORDERS = "orders"
EVACUATIONS = "evacuations"
DAEMONS = "daemons"

KINDS = (CONFIGURATION, DAEMONS, ORDERS, EVACUATIONS)
