"""Choose backend servers, send them requests and judge how they answer."""
