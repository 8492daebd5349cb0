"""Name the kinds of documents, as this package stores and passes them on."""

CONFIGURATION = "configuration"
CONFIGURATION_NAME = "main"
ORDERS = "orders"
EVACUATIONS = "evacuations"
DAEMONS = "daemons"

KINDS = (CONFIGURATION, DAEMONS, ORDERS, EVACUATIONS)
