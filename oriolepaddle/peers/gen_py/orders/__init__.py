__all__ = ['ttypes', 'constants', 'Orders']
