# Targets of this area.
dogwood_test(config dogwood_config)
dogwood_test(ownership dogwood_config)
dogwood_test(replica dogwood_replica)
